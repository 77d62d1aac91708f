package io.sillreel.sim;

import io.sillreel.http.EventLoop;
import io.sillreel.http.UnexpectedErrors;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The virtual clock of a simulation: runs scheduled tasks one at a time, in the order of their times. */
public final class SimTime {
    private record ScheduledTask(long atMicros, long order, Runnable task) {}

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMicros).thenComparingLong(ScheduledTask::order));
    private long nowMicros = 1_000_000;
    private long order;
    private boolean toleratesUnexpectedErrors;

    /** Lets the test cause errors; without this call, an error that a process reports ends the test. */
    public void tolerateUnexpectedErrors() {
        toleratesUnexpectedErrors = true;
    }

    public long nowMicros() {
        return nowMicros;
    }

    public void after(long delayMicros, Runnable task) {
        queue.add(new ScheduledTask(nowMicros + Math.max(0, delayMicros), order++, task));
    }

    /** Advances the clock by the given time and runs all tasks that fall due. */
    public void runFor(long micros) {
        long end = nowMicros + micros;
        while (!queue.isEmpty() && queue.peek().atMicros() <= end) {
            ScheduledTask scheduled = queue.poll();
            nowMicros = scheduled.atMicros();
            scheduled.task().run();
        }
        nowMicros = end;
    }

    /** The event loop of one process; after the process is killed, none of its tasks runs. */
    public final class Process implements EventLoop {
        private boolean killed;
        private long pausedUntilMicros;
        private long processingMicros;
        private final UnexpectedErrors unexpectedErrors = new UnexpectedErrors(this::nowMicros);

        @Override
        public UnexpectedErrors unexpectedErrors() {
            return unexpectedErrors;
        }

        /** Sets the processing time of each task from now on; tasks that fall due meanwhile wait. */
        public void setProcessingMicros(long microsPerTask) {
            processingMicros = microsPerTask;
        }

        /** Keeps the process busy for the given time. */
        public void occupy(long micros) {
            pausedUntilMicros = Math.max(pausedUntilMicros, nowMicros) + micros;
        }

        /** Pauses the process while its clocks run on; tasks that fall due meanwhile run after the pause. */
        public void pause(long forMicros) {
            pausedUntilMicros = nowMicros + forMicros;
        }

        /** Runs the work now, or after the pause if the process is paused or busy. */
        <T> CompletableFuture<T> runOrDefer(Supplier<CompletableFuture<T>> work) {
            if (nowMicros >= pausedUntilMicros) {
                occupy(processingMicros);
                return work.get();
            }
            CompletableFuture<T> later = new CompletableFuture<>();
            schedule(0, () -> work.get().thenAccept(later::complete));
            return later;
        }

        private void run(Runnable task, boolean[] cancelled) {
            if (nowMicros < pausedUntilMicros) {
                SimTime.this.after(pausedUntilMicros - nowMicros, () -> run(task, cancelled));
            } else if (!killed && !cancelled[0]) {
                occupy(processingMicros);
                runTask(task);
            }
        }

        private void runTask(Runnable task) {
            unexpectedErrors.runConfined("a task of the simulation", task);
            if (!toleratesUnexpectedErrors && unexpectedErrors.count() > 0) {
                throw new AssertionError("a process reported an unexpected error", unexpectedErrors.latest());
            }
        }

        public void kill() {
            killed = true;
        }

        public boolean isKilled() {
            return killed;
        }

        @Override
        public long nowMicros() {
            return nowMicros;
        }

        @Override
        public long wallMicros() {
            return 1_700_000_000_000_000L + nowMicros;
        }

        @Override
        public Timer schedule(long delayMicros, Runnable task) {
            boolean[] cancelled = {false};
            SimTime.this.after(delayMicros, () -> run(task, cancelled));
            return () -> cancelled[0] = true;
        }
    }
}
