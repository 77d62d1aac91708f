package io.sillreel.sim;

import io.sillreel.http.EventLoop;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Virtual time for a whole world: tasks run one after the other, in the order of their times. */
public final class SimTime {
    private record ScheduledTask(long atMicros, long order, Runnable task) {}

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMicros).thenComparingLong(ScheduledTask::order));
    private long nowMicros = 1_000_000;
    private long order;

    public long nowMicros() {
        return nowMicros;
    }

    public void after(long delayMicros, Runnable task) {
        queue.add(new ScheduledTask(nowMicros + Math.max(0, delayMicros), order++, task));
    }

    /** Lets that much time pass and runs whatever becomes due. */
    public void runFor(long micros) {
        long end = nowMicros + micros;
        while (!queue.isEmpty() && queue.peek().atMicros() <= end) {
            ScheduledTask due = queue.poll();
            nowMicros = due.atMicros();
            due.task().run();
        }
        nowMicros = end;
    }

    /** The loop of one process; once it is killed, none of its tasks runs any more. */
    public final class Process implements EventLoop {
        private boolean killed;
        private long frozenUntilMicros;
        private long taskMicros;

        /** From now on whatever it does takes so long, and what comes meanwhile waits. */
        public void setProcessingMicros(long microsPerTask) {
            taskMicros = microsPerTask;
        }

        /** What it is doing takes so long. */
        public void occupy(long micros) {
            frozenUntilMicros = Math.max(frozenUntilMicros, nowMicros) + micros;
        }

        /** Stands still for so long while its clocks run on; what should have happened meanwhile happens then. */
        public void pause(long forMicros) {
            frozenUntilMicros = nowMicros + forMicros;
        }

        /** Does it now or, if the process stands still, once it goes on. */
        <T> CompletableFuture<T> runOrDefer(Supplier<CompletableFuture<T>> work) {
            if (nowMicros >= frozenUntilMicros) {
                occupy(taskMicros);
                return work.get();
            }
            CompletableFuture<T> later = new CompletableFuture<>();
            schedule(0, () -> work.get().thenAccept(later::complete));
            return later;
        }

        private void run(Runnable task, boolean[] cancelled) {
            if (nowMicros < frozenUntilMicros) {
                SimTime.this.after(frozenUntilMicros - nowMicros, () -> run(task, cancelled));
            } else if (!killed && !cancelled[0]) {
                occupy(taskMicros);
                task.run();
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
