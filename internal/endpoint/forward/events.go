package forward

import "bytes"

var (
	eventEnd    = []byte("\n\n")
	eventIDName = []byte("id:")
)

// splitter cuts a stream into whole events and drops those that the caller
// has already.
type splitter struct {
	held []byte
	last string
	seen int
}

// add takes a part of the stream and appends the events that are whole now to
// out.
func (s *splitter) add(out, data []byte) []byte {
	s.held = append(s.held, data...)
	start := 0
	for {
		length := bytes.Index(s.held[start:], eventEnd)
		if length < 0 {
			break
		}
		end := start + length + len(eventEnd)
		out = s.take(out, s.held[start:end])
		start = end
	}
	s.held = append(s.held[:0], s.held[start:]...)
	return out
}

// take appends an event unless its id does not come after the last one's.
func (s *splitter) take(out, event []byte) []byte {
	if id := eventID(event); id != "" {
		if s.last != "" && !after(id, s.last) {
			return out
		}
		s.last = id
	}
	s.seen++
	return append(out, event...)
}

// restart drops a part of an event that will come again.
func (s *splitter) restart() { s.held = s.held[:0] }

// whole reports whether the stream stands at the end of an event.
func (s *splitter) whole() bool { return len(s.held) == 0 }

// eventID returns the id of an event, or nothing.
func eventID(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte{'\n'})
		if value, ok := bytes.CutPrefix(line, eventIDName); ok {
			return string(bytes.TrimSpace(value))
		}
		event = rest
	}
	return ""
}

// after compares decimal ids without a limit on their size.
func after(id, last string) bool {
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}
