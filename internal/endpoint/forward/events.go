package forward

import "bytes"

var (
	eventEnd     = []byte("\n\n")
	eventIDField = []byte("id:")
)

// eventSplitter splits a stream into complete events and drops those that the
// caller has already received.
type eventSplitter struct {
	partial []byte
	lastID  string
	count   int
}

// add adds a part of the stream and appends the events that it completes to
// out.
func (s *eventSplitter) add(out, data []byte) []byte {
	s.partial = append(s.partial, data...)
	start := 0
	for {
		length := bytes.Index(s.partial[start:], eventEnd)
		if length < 0 {
			break
		}
		end := start + length + len(eventEnd)
		out = s.appendEvent(out, s.partial[start:end])
		start = end
	}
	s.partial = append(s.partial[:0], s.partial[start:]...)
	return out
}

// appendEvent appends an event to out unless its id does not follow lastID.
func (s *eventSplitter) appendEvent(out, event []byte) []byte {
	if id := eventID(event); id != "" {
		if s.lastID != "" && !idAfter(id, s.lastID) {
			return out
		}
		s.lastID = id
	}
	s.count++
	return append(out, event...)
}

// discardPartial drops the incomplete event, which a resumed stream sends again.
func (s *eventSplitter) discardPartial() { s.partial = s.partial[:0] }

// atBoundary reports whether the data so far ends with a complete event.
func (s *eventSplitter) atBoundary() bool { return len(s.partial) == 0 }

// eventID returns the id of an event, or an empty string.
func eventID(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte{'\n'})
		if value, ok := bytes.CutPrefix(line, eventIDField); ok {
			return string(bytes.TrimSpace(value))
		}
		event = rest
	}
	return ""
}

// idAfter reports whether id follows last; both are decimal numbers of any
// length.
func idAfter(id, last string) bool {
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}
