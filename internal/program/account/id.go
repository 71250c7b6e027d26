package account

import (
	"crypto/rand"
	"strings"
)

// idSeparator separates the data centre from the random part of a journal's ID.
const idSeparator = "/"

// journalID returns a new journal ID for a data centre's holder.
func journalID(dataCentre string) string { return dataCentre + idSeparator + rand.Text() }

// dataCentreOf returns the data centre of a journal ID, or "" if the ID contains
// none.
func dataCentreOf(id string) string {
	end := strings.LastIndex(id, idSeparator)
	return id[:max(0, end)]
}
