/**
 * Messages between controllers, in CBOR, with one codec for each, and what the other controllers last told of
 * themselves ({@link io.sillreel.peer.Peers}).
 */
package io.sillreel.peer;
