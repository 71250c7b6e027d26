package clock

import (
	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// Real returns the machine's clock.
func Real() hawthornrail.Clock { return clockwork.NewRealClock() }
