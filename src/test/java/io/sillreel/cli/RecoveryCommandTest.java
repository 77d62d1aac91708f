package io.sillreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.http.NettyEventLoop;
import io.sillreel.http.NettyHttpServer;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RecoveryCommandTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private String output;

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Starts a stub controller that reports its status and refuses to accept a loss. */
    private String startController() {
        Channel channel = new NettyHttpServer(new NettyEventLoop(group.next()), NettyHttpServer.MAX_BODY_BYTES, 10)
                .listen(
                        new InetSocketAddress("127.0.0.1", 0),
                        request -> CompletableFuture.completedFuture(
                                request.path().equals("/recovery/status")
                                        ? HttpResponse.of(200, Json.object().put("generation", 3))
                                        : HttpResponse.error(409, "ask the controller that leads: hopper-1")));
        return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private int run(String... args) {
        CommandResult result = CommandResult.run(args);
        output = result.output();
        return result.exitStatus();
    }

    @Test
    void printsStatusAndReasonOfRefusal() {
        String address = startController();
        assertThat(run("recovery", "--address", address, "status")).isZero();
        assertThat(output).contains("\"generation\" : 3");
        assertThat(run("recovery", "--address", address, "accept-loss")).isEqualTo(1);
        assertThat(output).contains("ask the controller that leads: hopper-1").hasLineCount(1);
    }

    @Test
    void printsOneLineWhenControllerIsUnreachable() {
        assertThat(run("recovery", "--address", "nowhere", "status")).isEqualTo(1);
        assertThat(output).contains("request to nowhere failed").hasLineCount(1);
    }
}
