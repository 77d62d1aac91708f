package io.sillreel.leadership;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimTime;
import org.junit.jupiter.api.Test;

class HeldLeaseTest {
    private static final long DURATION_MICROS = 3_000_000;
    /** The margin for clock drift, a thousandth of the duration, and for late timers. */
    private static final long MARGIN_MICROS = 3_000 + 50_000;

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();
    private final HeldLease lease = new HeldLease(process, DURATION_MICROS);

    @Test
    void isInvalidBeforeAcquisition() {
        assertThat(lease.isValid()).isFalse();
        assertThat(lease.term()).isZero();
    }

    @Test
    void becomesInvalidBeforeStateServiceExpiresLease() {
        lease.acquired(7, 1, process.nowMicros());
        time.runFor(DURATION_MICROS - MARGIN_MICROS - 1);
        assertThat(lease.isValid()).isTrue();
        time.runFor(1);
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void renewalExtendsValidityFromItsSendTime() {
        lease.acquired(7, 1, process.nowMicros());
        time.runFor(1_000_000);
        long sentMicros = process.nowMicros();
        time.runFor(500_000);
        lease.renewed(sentMicros);
        assertThat(lease.confirmedMicros()).isEqualTo(sentMicros);
        time.runFor(DURATION_MICROS - MARGIN_MICROS - 500_000 - 1);
        assertThat(lease.isValid()).isTrue();
        time.runFor(1);
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void lateRenewalResponseDoesNotShortenValidity() {
        long acquiredMicros = process.nowMicros();
        lease.acquired(7, 1, acquiredMicros + 1_000);
        lease.renewed(acquiredMicros);
        assertThat(lease.confirmedMicros()).isEqualTo(acquiredMicros + 1_000);
    }

    @Test
    void releasedLeaseIsNeitherHeldNorValid() {
        lease.acquired(7, 4, process.nowMicros());
        assertThat(lease.release()).isEqualTo(4);
        assertThat(lease.isHeld(7)).isFalse();
        assertThat(lease.isValid()).isFalse();
        assertThat(lease.release()).isZero();
    }
}
