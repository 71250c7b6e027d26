package cmds

// The exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitNotInForce  = 6
)

// ExitCode is an exit code with its meaning for scripts.
type ExitCode struct {
	code    int
	meaning string
}

// Code returns the numeric exit code.
func (e ExitCode) Code() int { return e.code }

// Meaning describes the exit code.
func (e ExitCode) Meaning() string { return e.meaning }

// ExitCodes returns every exit code in order.
func ExitCodes() []ExitCode {
	return []ExitCode{
		{ExitOK, "done"},
		{ExitFailed, "failed; the message says why"},
		{ExitUsage, "the command line is wrong"},
		{ExitInvalid, "a file or the change that it asks for is not valid; nothing was changed"},
		{ExitConflict, "another operator changed the same object concurrently; nothing was changed"},
		{ExitUnavailable, "the platform or the VM does not respond; try again"},
		{ExitNotInForce, "not every VM has the deployment in force"},
	}
}
