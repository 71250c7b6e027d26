package fleet

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const stepTimeout = 2 * time.Second

// unreplicated returns the failure of a step that the backup did not
// acknowledge.
func unreplicated(err error) error {
	f := hawthornrail.NewFailure(hawthornrail.CodeReplicaUnreachable, hawthornrail.VerdictNotRun, err)
	return f.WithRetryAfter(unreachableRetryAfter)
}
