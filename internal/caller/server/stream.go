package server

import "bytes"

// eventBuffer separates the lines of a stream that may be sent from the last
// event and from an incomplete line, which it holds back.
type eventBuffer struct {
	pending []byte
	done    bool
}

// add adds a part of the stream and returns the lines that may be sent.
func (b *eventBuffer) add(data []byte) []byte {
	if b.done {
		return nil
	}
	b.pending = append(b.pending, data...)
	end := 0
	for {
		next := bytes.IndexByte(b.pending[end:], '\n')
		if next < 0 {
			break
		}
		if bytes.HasPrefix(b.pending[end:], doneEvent) {
			b.done = true
			break
		}
		end += next + 1
	}
	ready := b.pending[:end:end]
	b.pending = b.pending[end:]
	return ready
}

// final returns the data that was held back: the last event without the data
// after it, or else the incomplete line.
func (b *eventBuffer) final() []byte {
	if b.done {
		return append(append([]byte{}, doneEvent...), "\n\n"...)
	}
	return b.pending
}
