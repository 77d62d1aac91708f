/**
 * Recovery from lost writes of the state service, for example after it was restored from an older snapshot.
 *
 * <p>The controllers detect the loss, suspend scheduling and restore the lost writes from their change logs. Disabled
 * by default; no class of this package is loaded then. {@code docs/recovery.md} gives the reasons.
 */
package io.sillreel.recovery;
