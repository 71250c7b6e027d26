package account

import (
	"crypto/rand"
	"strings"
)

// idSeparator stands between the data centre and the random part of a
// journal's id.
const idSeparator = "/"

// journalID returns the id of a new journal of a data centre's holder.
func journalID(dataCentre string) string { return dataCentre + idSeparator + rand.Text() }

// dataCentreOf returns the data centre whose holder began a journal, or "" if
// its id does not tell.
func dataCentreOf(id string) string {
	end := strings.LastIndex(id, idSeparator)
	return id[:max(0, end)]
}
