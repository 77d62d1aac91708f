package io.sillreel.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FleetCapacityTest {
    private static final long MB = 1 << 20;

    @Test
    void socketLimitAssumesOneControllerDown() {
        assertThat(new FleetCapacity(new ProcessLimits(50 * MB, 2_000, 2)).maxMachinesBySockets())
                .isEqualTo(2 * 1_350);
        assertThat(new FleetCapacity(new ProcessLimits(50 * MB, 2_000, 0)).maxMachinesBySockets())
                .isEqualTo(1_350);
    }

    @Test
    void defaultHeapSupportsFourThousandMachinesAndDoubleHeapEightThousand() {
        FleetCapacity defaultHeap = new FleetCapacity(new ProcessLimits(50 * MB, 20_000, 2));
        FleetCapacity doubleHeap = new FleetCapacity(new ProcessLimits(100 * MB, 20_000, 2));
        assertThat(defaultHeap.maxMachines(FleetCapacity.DEFAULT_TASKS_PER_MACHINE))
                .isBetween(4_000, 5_000);
        assertThat(doubleHeap.maxMachines(FleetCapacity.DEFAULT_TASKS_PER_MACHINE))
                .isGreaterThan(8_000);
        assertThat(defaultHeap.maxMachines(32)).isLessThan(defaultHeap.maxMachines(1));
    }

    @Test
    void descriptionContainsAllLimits() {
        assertThat(new FleetCapacity(new ProcessLimits(50 * MB, 2_000, 2)).describe(4))
                .isEqualTo("2700 machines: 2700 by sockets (max_sockets 2000, 3 controllers of which one may be away), "
                        + "5444 by memory (heap of 50 MB, 4 tasks on each)");
    }
}
