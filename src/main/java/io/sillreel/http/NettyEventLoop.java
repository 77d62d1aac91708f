package io.sillreel.http;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochMicroClock;
import org.agrona.concurrent.SystemEpochMicroClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An {@link EventLoop} that is backed by a Netty event loop and the system clocks. */
public final class NettyEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);

    private final io.netty.channel.EventLoop nettyLoop;
    private final EpochMicroClock wallClock = new SystemEpochMicroClock();

    public NettyEventLoop(io.netty.channel.EventLoop nettyLoop) {
        this.nettyLoop = nettyLoop;
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
                nettyLoop.schedule(() -> runLoggingFailure(task), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public void execute(Runnable task) {
        nettyLoop.execute(() -> runLoggingFailure(task));
    }

    /** Logs an exception of the task, since Netty would only store it in the task's future. */
    private static void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("event loop task failed", e);
        }
    }
}
