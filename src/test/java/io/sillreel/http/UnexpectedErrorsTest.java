package io.sillreel.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class UnexpectedErrorsTest {
    private final UnexpectedErrors errors = new UnexpectedErrors(() -> 0);

    /** Guards against a process that goes on with exhausted memory: nobody would restart it. */
    @Test
    void passesOnlyErrorsOfTheVirtualMachineToTheUncaughtExceptionHandler() throws InterruptedException {
        List<Throwable> uncaught = new ArrayList<>();
        OutOfMemoryError fatal = new OutOfMemoryError("heap");
        Thread thread = new Thread(() -> {
            errors.report("parsing", new StackOverflowError());
            errors.report("planning", new ArithmeticException());
            errors.report("loading", fatal);
        });
        thread.setUncaughtExceptionHandler((each, error) -> uncaught.add(error));
        thread.start();
        thread.join();
        assertThat(uncaught).containsExactly(fatal);
        assertThat(errors.count()).isEqualTo(3);
    }

    @Test
    void continuesAfterAnErrorOfAFutureOrOfItsCallback() {
        List<String> continued = new ArrayList<>();
        errors.whenDone(
                CompletableFuture.failedFuture(new IllegalStateException()),
                "a future",
                result -> continued.add("result"),
                () -> continued.add("after the future"));
        errors.whenDone(
                CompletableFuture.completedFuture(0),
                "a callback",
                zero -> continued.add("" + 1 / zero),
                () -> continued.add("after the callback"));
        assertThat(continued).containsExactly("after the future", "after the callback");
        assertThat(errors.latest()).isInstanceOf(ArithmeticException.class);
    }
}
