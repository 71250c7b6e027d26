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
	// searched is how much of partial holds no end of an event.
	searched int
	lastID   string
	count    int
	// resumed is set once the events come from a response that goes on with those
	// of an earlier one.
	resumed bool
	// foreign is set once an event can't belong to the stream: a resumed one whose
	// events have ids gets data without an id, such as the text of an error.
	foreign bool
}

// add adds a part of the stream and appends the events that it completes to
// out.
func (s *eventSplitter) add(out, data []byte) []byte {
	s.partial = append(s.partial, data...)
	start := 0
	// The end may be split between two parts.
	from := max(0, s.searched-len(eventEnd)+1)
	for {
		length := bytes.Index(s.partial[from:], eventEnd)
		if length < 0 {
			break
		}
		end := from + length + len(eventEnd)
		out = s.appendEvent(out, s.partial[start:end])
		start, from = end, end
	}
	if start > 0 {
		s.partial = append(s.partial[:0], s.partial[start:]...)
	}
	s.searched = len(s.partial)
	return out
}

// appendEvent appends an event to out unless its id does not follow lastID.
func (s *eventSplitter) appendEvent(out, event []byte) []byte {
	id := eventID(event)
	if id == "" && s.resumed && s.lastID != "" && hasData(event) {
		s.foreign = true
	}
	if s.foreign {
		return out
	}
	if id != "" {
		if s.lastID != "" && !idAfter(id, s.lastID) {
			return out
		}
		s.lastID = id
	}
	s.count++
	return append(out, event...)
}

// resume prepares for the events of another response. It drops the incomplete
// event, which that one sends again.
func (s *eventSplitter) resume() {
	s.partial, s.searched = s.partial[:0], 0
	s.resumed, s.foreign = true, false
}

// atBoundary reports whether the data so far ends with a complete event.
func (s *eventSplitter) atBoundary() bool { return len(s.partial) == 0 }

// hasData reports whether an event holds more than comments.
func hasData(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

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
