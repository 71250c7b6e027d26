// Package fair orders the requests that wait for endpoint capacity: by weighted
// fair queueing across teams, and by the attained service of their programs
// within a team.
package fair
