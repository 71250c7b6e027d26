package proxy

import "bytes"

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
	// err is why nothing is collected.
	err error
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
		d.all = append(d.all, d.event...)
		d.event = d.event[:0]
		return
	}
	field, value, _ := bytes.Cut(line, []byte{':'})
	if string(field) != "data" {
		return
	}
	d.event = append(d.event, bytes.TrimPrefix(value, []byte{' '})...)
	d.event = append(d.event, '\n')
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
