package io.sillreel.peer;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;

/** The factory of CBOR parsers and generators that all codecs of this package share. Thread-safe. */
final class CborStreams {
    static final CBORFactory FACTORY = new CBORFactory();

    private CborStreams() {}
}
