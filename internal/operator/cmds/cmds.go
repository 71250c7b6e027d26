package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"hawthornrail.example/hawthornrail/internal/operator/serve"
	"hawthornrail.example/hawthornrail/internal/operator/settings"
	"hawthornrail.example/hawthornrail/platform"
)

// Version is the version of the program.
const Version = "0.1.0"

// exitError is an error with the exit code that it results in.
type exitError struct {
	code int
	err  error
}

// Error returns the message.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e exitError) Unwrap() error { return e.err }

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := App(stdout, stderr).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "hawthornrail:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

// App returns the root command, which writes its output to the given writers.
func App(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "hawthornrail",
		Usage:                 "schedule agent programs between callers, model engines and services",
		Version:               Version,
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: append([]*cli.Command{
			serveCommand(),
			checkCommand(),
			templateCommand(),
			deploymentCommand(),
			keyCommand(),
			programsCommand(),
			statusCommand(),
			drainCommand(),
			explainCommand(),
			versionCommand(),
		}, platform.Commands()...),
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the TOML `FILE` of this VM's settings", Required: true}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run the server process of an entry VM",
		Description: "Example: hawthornrail serve --settings /etc/hawthornrail.toml",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.BoolFlag{Name: "print-settings", Usage: "print the settings in force, with secrets redacted, and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return exitError{ExitInvalid, err}
			}
			if c.Bool("print-settings") {
				return printSettings(c, s)
			}
			return serve.Run(ctx, s)
		},
	}
}

func printSettings(c *cli.Command, s settings.Settings) error {
	text, err := s.Print()
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.Root().Writer, text)
	return err
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "validate settings offline",
		Description: "Example: hawthornrail check --settings /etc/hawthornrail.toml",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := settings.Load(c.String("settings")); err != nil {
				return exitError{ExitInvalid, err}
			}
			_, err := fmt.Fprintln(c.Root().Writer, "settings are correct")
			return err
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, Version)
			return err
		},
	}
}
