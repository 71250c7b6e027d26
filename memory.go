package hawthornrail

import "context"

// FinishedProgram is an ended program with the endpoints that may still hold
// memory for it.
type FinishedProgram struct {
	id        ProgramID
	endpoints []string
}

// NewFinishedProgram returns an ended program with the endpoints that it used.
func NewFinishedProgram(id ProgramID, endpoints []string) FinishedProgram {
	return FinishedProgram{id: id, endpoints: endpoints}
}

// ID returns the id of the program.
func (f FinishedProgram) ID() ProgramID { return f.id }

// Endpoints returns the names of the endpoints that it used.
func (f FinishedProgram) Endpoints() []string { return f.endpoints }

// FinishedPrograms lists the programs that have ended.
type FinishedPrograms interface {
	// Finished returns the ended programs of the trees held on this VM that have
	// no call in flight.
	Finished() []FinishedProgram
}

// EngineMemory controls the memory that engines hold for programs.
type EngineMemory interface {
	// Release asks an engine to free a program's memory and returns once the
	// engine confirms that it holds none.
	Release(ctx context.Context, e Endpoint, program string) error
	// ProgramsInMemory returns the programs that the engine holds memory for.
	ProgramsInMemory(ctx context.Context, e Endpoint) ([]string, error)
}
