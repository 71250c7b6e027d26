package events

import (
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// Event is one kind of log line, identified by its number.
type Event struct {
	number  int
	level   zerolog.Level
	message string
	action  string
}

// Number returns the event's number; the meaning of a number never changes.
func (e Event) Number() int { return e.number }

// Level returns the event's severity.
func (e Event) Level() zerolog.Level { return e.level }

// Message returns the text of the log line.
func (e Event) Message() string { return e.message }

// Action returns the recommended operator action, or the empty string.
func (e Event) Action() string { return e.action }

// Logger writes the events of one layer.
type Logger struct {
	log zerolog.Logger
}

// NewLogger returns a logger that writes JSON lines of at least level to w.
func NewLogger(w io.Writer, level zerolog.Level) Logger {
	return Logger{log: zerolog.New(w).Level(level).With().Timestamp().Logger()}
}

// NewStderr returns a logger to standard error at the named level.
func NewStderr(level string) (Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return Logger{}, fmt.Errorf("log level: %w", err)
	}
	return NewLogger(os.Stderr, l), nil
}

// Discard returns a logger that writes nothing.
func Discard() Logger { return Logger{log: zerolog.Nop()} }

// Layer returns a logger that adds the name of a software layer to its lines.
func (l Logger) Layer(name string) Logger {
	return Logger{log: l.log.With().Str("layer", name).Logger()}
}

// With returns a logger that adds a field to its lines.
func (l Logger) With(field, value string) Logger {
	return Logger{log: l.log.With().Str(field, value).Logger()}
}

// Event starts a log line for e; the caller adds fields and calls Emit.
func (l Logger) Event(e Event) *Line {
	return &Line{event: l.log.WithLevel(e.level).Int("event", e.number), enabled: e.level >= l.log.GetLevel(), message: e.message}
}

// Line is a log line under construction.
type Line struct {
	event   *zerolog.Event
	enabled bool
	message string
}

// Str adds a string field.
func (l *Line) Str(field, value string) *Line {
	l.event.Str(field, value)
	return l
}

// Uint64 adds an unsigned integer field.
func (l *Line) Uint64(field string, value uint64) *Line {
	l.event.Uint64(field, value)
	return l
}

// Int adds an integer field.
func (l *Line) Int(field string, value int) *Line {
	l.event.Int(field, value)
	return l
}

// Millis adds a duration in milliseconds. The field is left out if the duration is the longest
// one, which is the time since something that has never happened.
func (l *Line) Millis(field string, value time.Duration) *Line {
	if value == math.MaxInt64 {
		return l
	}
	return l.Int(field, int(value.Milliseconds()))
}

// Float adds a floating-point field.
func (l *Line) Float(field string, value float64) *Line {
	l.event.Float64(field, value)
	return l
}

// Bool adds a boolean field.
func (l *Line) Bool(field string, value bool) *Line {
	l.event.Bool(field, value)
	return l
}

// Err adds an error field.
func (l *Line) Err(err error) *Line {
	l.event.Err(err)
	return l
}

// Emit writes the line if its level is enabled.
func (l *Line) Emit() {
	if !l.enabled {
		return
	}
	l.event.Msg(l.message)
}
