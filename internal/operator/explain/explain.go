package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// ErrNotFound is returned if no log line contains the id.
var ErrNotFound = errors.New("no line in the logs speaks of it")

// columns are the fields that Write does not print as name=value.
var columns = map[string]bool{"time": true, "vm": true, "event": true, "message": true, "request": true, "level": true}

// Line is a parsed log line.
type Line struct {
	at     time.Time
	order  int
	fields map[string]any
}

func (l Line) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

// Lines reads the log lines of several VMs. It ignores text before the first
// brace of a line and lines that are not JSON objects.
func Lines(readers ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, r := range readers {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			start := bytes.IndexByte(scanner.Bytes(), '{')
			if start < 0 {
				continue
			}
			var fields map[string]any
			if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
				continue
			}
			l := Line{order: len(lines), fields: fields}
			// A line without a valid time has the zero time and is sorted first.
			l.at, _ = time.Parse(time.RFC3339, l.text("time"))
			lines = append(lines, l)
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	return lines, nil
}

// Chain returns the lines of a request, or of a program and all of its requests,
// sorted by time.
func Chain(lines []Line, id string) ([]Line, error) {
	requests := map[string]bool{id: true}
	for _, l := range lines {
		if l.text("program") == id && l.text("request") != "" {
			requests[l.text("request")] = true
		}
	}
	var chain []Line
	for _, l := range lines {
		if requests[l.text("request")] || l.text("program") == id {
			chain = append(chain, l)
		}
	}
	if len(chain) == 0 {
		return nil, fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	slices.SortStableFunc(chain, func(a, b Line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	return chain, nil
}

// Write writes each log line as one line of text: time, VM, request, event,
// message and the other fields as name=value, sorted by name.
func Write(w io.Writer, chain []Line) error {
	for _, l := range chain {
		var others strings.Builder
		for _, name := range slices.Sorted(maps.Keys(l.fields)) {
			if !columns[name] {
				fmt.Fprintf(&others, " %s=%v", name, l.fields[name])
			}
		}
		_, err := fmt.Fprintf(w, "%s %s %s %v %s:%s\n", l.text("time"), l.text("vm"), l.text("request"), l.fields["event"], l.text("message"), others.String())
		if err != nil {
			return fmt.Errorf("write chain: %w", err)
		}
	}
	return nil
}
