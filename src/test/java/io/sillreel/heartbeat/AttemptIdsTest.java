package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AttemptIdsTest {
    /** After some weeks, a term has used its last id; the next number is the first id of the following term. */
    @Test
    void neverReturnsIdOfFollowingTerm() {
        AttemptIds ids = new AttemptIds(7, (1L << 32) - 2);
        assertThat(ids.next()).isEqualTo((8L << 32) - 1).isLessThan(new AttemptIds(8).next());
        assertThat(ids.isExhausted()).isTrue();
        assertThatThrownBy(ids::next).isInstanceOf(IllegalStateException.class);
    }
}
