package proxy

import (
	"bytes"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// eventData collects the data of the events of a stream, each followed by a line feed: the
// values of an event's data fields, joined by line feeds. Comments and other fields, and
// events without data, add nothing.
type eventData struct {
	// limit is the largest number of bytes that is collected.
	limit int
	// line is a line that is incomplete, and event the data of the incomplete event.
	line  []byte
	event []byte
	all   []byte
	// id is the id of the incomplete event, and ends are the complete events.
	id   string
	ends []eventEnd
	// err is why nothing is collected.
	err error
}

// eventEnd is the id of an event and where its data ends.
type eventEnd struct {
	id  string
	end int
}

// seed adds events that arrived elsewhere.
func (d *eventData) seed(events []hawthornrail.TurnEvent) {
	for _, e := range events {
		d.all = append(d.all, e.Data()...)
		d.ends = append(d.ends, eventEnd{e.ID(), len(d.all)})
	}
	d.bound()
}

// after returns the complete events after the first ones.
func (d *eventData) after(first int) []hawthornrail.TurnEvent {
	start := 0
	if first > 0 && first <= len(d.ends) {
		start = d.ends[first-1].end
	}
	var events []hawthornrail.TurnEvent
	for _, e := range d.ends[min(first, len(d.ends)):] {
		events = append(events, hawthornrail.NewTurnEvent(e.id, d.all[start:e.end]))
		start = e.end
	}
	return events
}

// add adds a part of the stream.
func (d *eventData) add(part []byte) {
	for len(part) > 0 && d.err == nil {
		line, rest, ended := bytes.Cut(part, []byte{'\n'})
		if !ended {
			d.line = append(d.line, part...)
			d.bound()
			return
		}
		part = rest
		if len(d.line) > 0 {
			line = append(d.line, line...)
			d.line = line[:0]
		}
		d.addLine(bytes.TrimSuffix(line, []byte{'\r'}))
		d.bound()
	}
}

// addLine adds a line without its end; an empty one ends an event.
func (d *eventData) addLine(line []byte) {
	if len(line) == 0 {
		d.endEvent()
		return
	}
	field, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(field) {
	case "data":
		d.event = append(d.event, value...)
		d.event = append(d.event, '\n')
	case "id":
		d.id = string(value)
	}
}

func (d *eventData) endEvent() {
	d.all = append(d.all, d.event...)
	if len(d.event) > 0 || d.id != "" {
		d.ends = append(d.ends, eventEnd{d.id, len(d.all)})
	}
	d.event, d.id = d.event[:0], ""
}

// bound stops collecting once the stream is too long.
func (d *eventData) bound() {
	if d.size() > d.limit {
		d.discard(errTurnTooBig)
	}
}

// discard drops what was collected, and collects nothing from now on.
func (d *eventData) discard(err error) { *d = eventData{err: err} }

// size returns the number of collected bytes.
func (d *eventData) size() int { return len(d.line) + len(d.event) + len(d.all) }

// output returns the data of all complete events, or why it was not collected.
func (d *eventData) output() (data []byte, err error) { return d.all, d.err }
