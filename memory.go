package hawthornrail

import "context"

// Finished is a program that has ended, with the endpoints that may hold
// memory for it.
type Finished struct {
	id        ProgramID
	endpoints []string
}

// NewFinished returns an ended program with the endpoints that it used.
func NewFinished(id ProgramID, endpoints []string) Finished {
	return Finished{id: id, endpoints: endpoints}
}

// ID returns the id of the program.
func (f Finished) ID() ProgramID { return f.id }

// Endpoints returns the names of the endpoints that it used.
func (f Finished) Endpoints() []string { return f.endpoints }

// FinishedPrograms tells which programs have ended for good.
type FinishedPrograms interface {
	// Finished returns the programs that have ended in a record held here and
	// have no call under way.
	Finished() []Finished
}

// EngineMemory is what engines hold for programs.
type EngineMemory interface {
	// Release returns once the engine confirms that it holds nothing for a
	// program.
	Release(ctx context.Context, e Endpoint, program string) error
	// Held returns the programs that the engine holds memory for.
	Held(ctx context.Context, e Endpoint) ([]string, error)
}
