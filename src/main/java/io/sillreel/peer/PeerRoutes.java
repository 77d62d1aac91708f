package io.sillreel.peer;

/** The routes between controllers; all take POST requests with a CBOR body. */
public final class PeerRoutes {
    /** Accepts a batch of relayed heartbeats; see {@link HeartbeatBatchCodec}. */
    public static final String HEARTBEATS = "/peer/beats";
    /** Accepts a {@link Hello} and responds with one. */
    public static final String HELLO = "/peer/hello";
    /** Accepts the ids of jobs whose cancellation has been stored; see {@link CancellationCodec}. */
    public static final String CANCELLED = "/peer/withdrawn";

    private PeerRoutes() {}
}
