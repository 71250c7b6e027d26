package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
	"hawthornrail.example/hawthornrail/internal/operator/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "print the log records of a request or of a program",
		ArgsUsage:   "ID",
		Description: "Example: hawthornrail explain 9c41d07be2a35f68 --logs vm1.log --logs vm2.log",
		Flags:       []cli.Flag{&cli.StringSliceFlag{Name: "logs", Usage: "a log `FILE`; several are merged", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exitError{ExitUsage, fmt.Errorf("want one id of a request or program, got %d", c.Args().Len())}
			}
			return explainID(c.Root().Writer, c.Args().First(), c.StringSlice("logs"))
		},
	}
}

func explainID(w io.Writer, id string, files []string) error {
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return exitError{ExitInvalid, fmt.Errorf("open log: %w", err)}
		}
		defer func() { _ = f.Close() }()
		readers = append(readers, f)
	}
	lines, err := explain.Lines(readers...)
	if err != nil {
		return exitError{ExitInvalid, err}
	}
	chain, err := explain.Chain(lines, id)
	if err != nil {
		return err
	}
	return explain.Write(w, chain)
}
