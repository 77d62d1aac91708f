package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy on a free loopback port that passes connections on to one address, holds them back or resets them. */
final class Relay {
    enum Mode {
        PASS,
        /** Nothing is delivered until the mode changes; then all of it is, in order. */
        HOLD,
        /** Connections are reset, new ones too. */
        RESET
    }

    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket server;
    private final String target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    Relay(String target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void mode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.RESET) {
            sockets.forEach(Relay::reset);
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket near = server.accept();
                start(() -> join(near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void join(Socket near) {
        if (mode == Mode.RESET) {
            reset(near);
            return;
        }
        try {
            while (mode == Mode.HOLD) {
                Thread.sleep(10);
            }
            Socket far = new Socket();
            int colon = target.lastIndexOf(':');
            far.connect(
                    new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
                    1_000);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            sockets.add(near);
            sockets.add(far);
            start(() -> pump(near, far));
            pump(far, near);
        } catch (IOException e) {
            reset(near);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            while (true) {
                int count = from.getInputStream().read(buffer);
                while (mode == Mode.HOLD) {
                    Thread.sleep(10);
                }
                if (count < 0) {
                    break;
                }
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // Either side has closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        sockets.remove(from);
        sockets.remove(to);
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // They are closed already.
        }
    }
}
