package io.sillreel.peer;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;

/** Holds the factory of CBOR parsers and generators shared by all codecs of this package. Thread-safe. */
final class CborStreams {
    static final CBORFactory FACTORY = new CBORFactory();

    private CborStreams() {}
}
