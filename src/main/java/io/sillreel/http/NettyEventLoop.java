package io.sillreel.http;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochMicroClock;
import org.agrona.concurrent.SystemEpochMicroClock;

/** An {@link EventLoop} that is backed by a Netty event loop and the system clocks. */
public final class NettyEventLoop implements EventLoop {
    private final io.netty.channel.EventLoop nettyLoop;
    private final EpochMicroClock wallClock = new SystemEpochMicroClock();
    private final UnexpectedErrors unexpectedErrors = new UnexpectedErrors(this::nowMicros);

    public NettyEventLoop(io.netty.channel.EventLoop nettyLoop) {
        this.nettyLoop = nettyLoop;
    }

    io.netty.channel.EventLoop nettyLoop() {
        return nettyLoop;
    }

    @Override
    public long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    @Override
    public long wallMicros() {
        return wallClock.microTime();
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        ScheduledFuture<?> scheduled =
                nettyLoop.schedule(() -> runTask(task), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public void execute(Runnable task) {
        nettyLoop.execute(() -> runTask(task));
    }

    @Override
    public UnexpectedErrors unexpectedErrors() {
        return unexpectedErrors;
    }

    /** Reports an error of the task, which Netty would only store in the task's future. */
    private void runTask(Runnable task) {
        unexpectedErrors.runConfined("a task of the event loop", task);
    }
}
