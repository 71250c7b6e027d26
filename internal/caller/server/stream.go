package server

import "bytes"

// eventBuffer splits a stream of events into those that may go out and the
// last one with whatever is not a whole line yet.
type eventBuffer struct {
	held []byte
	last bool
}

// add takes a part of the stream and returns the lines that may go out.
func (b *eventBuffer) add(data []byte) []byte {
	if b.last {
		return nil
	}
	b.held = append(b.held, data...)
	end := 0
	for {
		next := bytes.IndexByte(b.held[end:], '\n')
		if next < 0 {
			break
		}
		if bytes.HasPrefix(b.held[end:], lastEvent) {
			b.last = true
			break
		}
		end += next + 1
	}
	ready := b.held[:end:end]
	b.held = b.held[end:]
	return ready
}

// rest returns what was held back: the last event and nothing after it.
func (b *eventBuffer) rest() []byte {
	if b.last {
		return append(append([]byte{}, lastEvent...), "\n\n"...)
	}
	return b.held
}
