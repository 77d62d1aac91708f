/**
 * Messages between controllers, in CBOR, with one codec for each type, and the last known status of the other
 * controllers ({@link io.sillreel.peer.Peers}).
 */
package io.sillreel.peer;
