package io.sillreel.http;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP/1.1 client on one Netty event loop, with a bounded pool of persistent connections for each address and one
 * request at a time on each connection. A request that times out closes its connection. {@link #send} may be called
 * from any thread; everything else runs on the event loop, which also completes the futures.
 */
public final class NettyHttpClient implements HttpClient {
    /**
     * Interval between sweeps, each of which closes the connections that have been idle since the previous sweep. The
     * leader occasionally sends commands to every machine; if it kept those connections open, their number would grow
     * with the fleet and exhaust the sockets needed for the state service.
     */
    private static final long IDLE_SWEEP_MICROS = 2_000_000;

    private final EventLoop nettyLoop;
    private final int connectionsPerAddress;
    private final int maxResponseBytes;
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    private boolean sweepScheduled;

    /**
     * @param connectionsPerAddress the maximum number of open connections to one address
     * @param maxResponseBytes the largest response body accepted; a larger one completes its request with
     *     {@link HttpResponse#RESPONSE_TOO_LARGE}
     */
    public NettyHttpClient(EventLoop nettyLoop, int connectionsPerAddress, int maxResponseBytes) {
        this.nettyLoop = nettyLoop;
        this.connectionsPerAddress = connectionsPerAddress;
        this.maxResponseBytes = maxResponseBytes;
    }

    @Override
    public CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros) {
        if (!ConnectionPool.isAddress(address)) {
            return CompletableFuture.completedFuture(HttpResponse.notSent());
        }
        PendingExchange exchange = new PendingExchange(request);
        if (nettyLoop.inEventLoop()) {
            submit(address, exchange, timeoutMicros);
        } else {
            nettyLoop.execute(() -> submit(address, exchange, timeoutMicros));
        }
        return exchange.future();
    }

    private void submit(String address, PendingExchange exchange, long timeoutMicros) {
        ConnectionPool pool = pools.get(address);
        if (pool == null) {
            pool = new ConnectionPool(this, nettyLoop, address, connectionsPerAddress, maxResponseBytes);
            pools.put(address, pool);
        }
        scheduleTimeout(pool, exchange, timeoutMicros);
        pool.submit(exchange);
        if (!sweepScheduled) {
            scheduleSweep();
        }
    }

    private void scheduleTimeout(ConnectionPool pool, PendingExchange exchange, long timeoutMicros) {
        exchange.setTimer(nettyLoop.schedule(() -> pool.expire(exchange), timeoutMicros, TimeUnit.MICROSECONDS));
    }

    private void scheduleSweep() {
        sweepScheduled = true;
        nettyLoop.schedule(this::sweep, IDLE_SWEEP_MICROS, TimeUnit.MICROSECONDS);
    }

    private void sweep() {
        sweepScheduled = false;
        if (!pools.isEmpty()) {
            scheduleSweep();
        }
        closeUnused();
    }

    /** Closes the connections that have not been used since the previous call. */
    void closeUnused() {
        List.copyOf(pools.values()).forEach(ConnectionPool::closeUnused);
    }

    int idleConnections() {
        return pools.values().stream().mapToInt(ConnectionPool::idleCount).sum();
    }

    /** Removes a pool that has neither connections nor requests. */
    void remove(ConnectionPool pool) {
        pools.remove(pool.address(), pool);
    }
}
