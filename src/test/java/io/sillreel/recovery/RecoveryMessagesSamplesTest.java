package io.sillreel.recovery;

import static io.sillreel.golden.GoldenSamples.bytes;
import static io.sillreel.golden.GoldenSamples.hex;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples;
import io.sillreel.recovery.RecoveryMessages.Page;
import io.sillreel.recovery.RecoveryMessages.PeerStatus;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.Test;

/** The messages between controllers about lost writes and their routes. */
class RecoveryMessagesSamplesTest {
    @Test
    void decodesAndEncodesPeerStatus() throws Exception {
        GoldenSamples.assertConverts("recovery-greetings.txt", input -> {
            try {
                PeerStatus status = PeerStatus.decode(bytes(input));
                return values(status) + "\n" + hex(status.encode());
            } catch (UncheckedIOException e) {
                return "unreadable";
            }
        });
    }

    @Test
    void decodesAndEncodesPages() throws Exception {
        GoldenSamples.assertConverts("recovery-pages.txt", input -> {
            Page page = Page.decode(bytes(input));
            return values(page) + "\n" + hex(page.encode());
        });
    }

    @Test
    void keepsRoutes() {
        GoldenSamples.assertMatches(
                "recovery-routes.txt", RecoveryMessages.STATUS_ROUTE + "\n" + RecoveryMessages.CHANGES_ROUTE + "\n");
    }
}
