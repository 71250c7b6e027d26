package clock

import (
	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// Real returns a clock that reads the system time.
func Real() hawthornrail.Clock { return clockwork.NewRealClock() }
