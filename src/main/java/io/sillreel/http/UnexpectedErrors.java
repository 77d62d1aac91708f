package io.sillreel.http;

import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Confines an error that nobody expected to the piece of work in which it occurred: the error is logged and counted,
 * and all other work continues. The exception is an error of the virtual machine, such as exhausted memory, after which
 * no state can be relied on: it is passed to the thread's handler of uncaught exceptions, with which the daemon ends
 * the process. Thread-safe.
 */
public final class UnexpectedErrors {
    private static final Logger LOG = LoggerFactory.getLogger(UnexpectedErrors.class);
    /** Further errors within this time are logged without their stack traces, which cost much CPU time to print. */
    private static final long STACK_TRACE_INTERVAL_MICROS = 1_000_000;

    private static final int MAX_STACK_TRACE_FRAMES = 40;

    private final LongSupplier nowMicros;
    /** Guarded by this. */
    private long count;
    /** Guarded by this. */
    private Throwable latest;
    /** Guarded by this. */
    private long lastStackTraceMicros;

    /** @param nowMicros monotonic time in microseconds */
    public UnexpectedErrors(LongSupplier nowMicros) {
        this.nowMicros = nowMicros;
        this.lastStackTraceMicros = nowMicros.getAsLong() - STACK_TRACE_INTERVAL_MICROS;
    }

    /** The number of errors since the process started. */
    public synchronized long count() {
        return count;
    }

    /** The latest error, or null if there was none. */
    public synchronized Throwable latest() {
        return latest;
    }

    /**
     * Logs and counts an error.
     *
     * @param work what failed, as a noun phrase
     */
    public void report(String work, Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        if (recordAndCheckStackTraceDue(cause)) {
            truncateStackTrace(cause);
            LOG.error("unexpected error in {}", work, cause);
        } else {
            LOG.error("unexpected error in {}: {}", work, cause.toString());
        }
        if (isFatal(cause)) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, cause);
        }
    }

    private synchronized boolean recordAndCheckStackTraceDue(Throwable error) {
        latest = error;
        count++;
        long now = nowMicros.getAsLong();
        boolean isDue = now - lastStackTraceMicros >= STACK_TRACE_INTERVAL_MICROS;
        lastStackTraceMicros = isDue ? now : lastStackTraceMicros;
        return isDue;
    }

    /** A stack overflow has a thousand frames, of which the first show the recursion. */
    private static void truncateStackTrace(Throwable error) {
        StackTraceElement[] frames = error.getStackTrace();
        if (frames.length > MAX_STACK_TRACE_FRAMES) {
            error.setStackTrace(Arrays.copyOf(frames, MAX_STACK_TRACE_FRAMES));
        }
    }

    /** A stack overflow only ends the work that needed too much stack. */
    private static boolean isFatal(Throwable error) {
        return error instanceof VirtualMachineError && !(error instanceof StackOverflowError);
    }

    /** Runs the task; returns false if it ended with an error, which is reported. */
    public boolean runConfined(String work, Runnable task) {
        try {
            task.run();
            return true;
        } catch (Throwable e) {
            report(work, e);
            return false;
        }
    }

    /** Calls the task; returns the fallback if it ended with an error, which is reported. */
    public <T> T callConfined(String work, Supplier<T> task, T fallback) {
        try {
            return task.get();
        } catch (Throwable e) {
            report(work, e);
            return fallback;
        }
    }

    /** Runs the callback with the result of the future; an error of either is reported. */
    public <T> void whenDone(CompletableFuture<T> future, String work, Consumer<? super T> callback) {
        whenDone(future, work, callback, () -> {});
    }

    /**
     * Runs the callback with the result of the future. An error of the future or of the callback would otherwise be
     * stored in another future that nobody reads.
     *
     * @param onError runs after an error has been reported, for example to schedule the next attempt
     */
    public <T> void whenDone(CompletableFuture<T> future, String work, Consumer<? super T> callback, Runnable onError) {
        future.whenComplete((result, failure) -> {
            boolean isHandled = runConfined(work, () -> {
                if (failure != null) {
                    throw new CompletionException(failure);
                }
                callback.accept(result);
            });
            if (!isHandled) {
                runConfined(work, onError);
            }
        });
    }
}
