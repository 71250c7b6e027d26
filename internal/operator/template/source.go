package template

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// source is the text of a file with the errors found in it so far.
type source struct {
	path  string
	lines []string
	errs  []lineError
}

// lineError is an error with its line number.
type lineError struct {
	line int
	text string
}

// decode decodes a file into v and records syntax errors and unknown keys. Keys
// in the table openTable are checked later.
func decode(path, text, openTable string, v any) (*source, bool) {
	s := &source{path: path, lines: strings.Split(text, "\n")}
	meta, err := toml.Decode(text, v)
	var parse toml.ParseError
	if errors.As(err, &parse) {
		s.errs = append(s.errs, lineError{parse.Position.Line, parse.Message})
		return s, false
	}
	if err != nil {
		s.errs = append(s.errs, lineError{1, err.Error()})
		return s, false
	}
	for _, key := range meta.Undecoded() {
		if key[0] != openTable {
			s.addErrorf(key, "unknown key")
		}
	}
	return s, true
}

func (s *source) addErrorf(key toml.Key, format string, args ...any) {
	s.errs = append(s.errs, lineError{s.line(key), fmt.Sprintf("%s: %s", key, fmt.Sprintf(format, args...))})
}

// sort orders the errors by line, because iteration over maps is unordered.
func (s *source) sort() {
	slices.SortFunc(s.errs, func(a, b lineError) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.text, b.text))
	})
}

func (s *source) err() error {
	errs := make([]error, 0, len(s.errs))
	for _, f := range s.errs {
		errs = append(errs, fmt.Errorf("%s:%d: %s", s.path, f.line, f.text))
	}
	return errors.Join(errs...)
}

// line returns the line number of a key, else of the innermost table that
// encloses it, else 1.
func (s *source) line(key toml.Key) int {
	wanted := strings.Join(key, ".")
	table, found, length := "", 1, 0
	for i, text := range s.lines {
		text = strings.TrimSpace(text)
		full := table
		if strings.HasPrefix(text, "[") {
			table = strings.Trim(text, "[] ")
			full = table
		} else if name, _, ok := strings.Cut(text, "="); ok && !strings.HasPrefix(text, "#") {
			full = strings.TrimPrefix(table+"."+strings.TrimSpace(name), ".")
		}
		encloses := full != "" && (full == wanted || strings.HasPrefix(wanted, full+"."))
		if encloses && len(full) > length {
			found, length = i+1, len(full)
		}
	}
	return found
}
