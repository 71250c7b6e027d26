package holder

import (
	"testing"
	"time"
)

func TestSilence(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	// look asks once every 900 ms, 400 of which pass until the answer is missed.
	look := func(answers ...bool) (over bool) {
		var s silence
		for i, answered := range answers {
			asked := begin.Add(time.Duration(i) * 900 * time.Millisecond)
			over = s.over(answered, asked, asked.Add(400*time.Millisecond))
		}
		return over
	}
	for _, c := range []struct {
		name    string
		answers []bool
		want    bool
	}{
		{"not yet", []bool{false, false, false}, false},
		{"for the limit", []bool{false, false, false, false}, true},
		{"an answer in between", []bool{false, false, true, false, false}, false},
		{"again after an answer", []bool{false, true, false, false, false, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := look(c.answers...); got != c.want {
				t.Errorf("place is taken: %v, want %v", got, c.want)
			}
		})
	}
}
