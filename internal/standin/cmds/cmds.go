package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/standin/caller"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
	"hawthornrail.example/hawthornrail/internal/standin/platform"
	"hawthornrail.example/hawthornrail/internal/standin/service"
)

// Main runs the command line and returns the exit code: 1 on an error.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:      "standin",
		Usage:     "simulate external systems in tests",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), callerCommand()},
	}
	if err := app.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "the `IP:PORT` to serve", Required: true}
}

func listenAndServe(ctx context.Context, address string, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: 64 << 20}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	if err := server.ListenAndServe(address); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// seed is an object that the platform stores at start-up.
type seed struct {
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the platform's objects",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "seed", Usage: "a JSON `FILE` with an array of initial objects"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := platform.NewStore()
			if err := loadSeeds(store, c.String("seed")); err != nil {
				return err
			}
			return listenAndServe(ctx, c.String("listen"), platform.NewServer(store).Handler())
		},
	}
}

func loadSeeds(store *platform.Store, path string) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read seed file: %w", err)
	}
	var seeds []seed
	if err := json.Unmarshal(content, &seeds); err != nil {
		return fmt.Errorf("parse seed file %s: %w", path, err)
	}
	for _, s := range seeds {
		if _, err := store.Put(s.Kind, s.Name, 0, s.Value); err != nil {
			return fmt.Errorf("store seed object %s/%s: %w", s.Kind, s.Name, err)
		}
	}
	return nil
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "serve a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "slots", Value: 8},
			&cli.FloatFlag{Name: "prefill", Usage: "tokens per second", Value: 20000},
			&cli.DurationFlag{Name: "decode", Usage: "time between tokens", Value: 2 * time.Millisecond},
			&cli.IntFlag{Name: "cache", Usage: "cache size in tokens", Value: 200000},
			&cli.IntFlag{Name: "completion", Usage: "tokens of a response", Value: 20},
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "execute operations with an old fencing number"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e := engine.New(engine.Params{
				Slots: c.Int("slots"), PrefillPerSecond: c.Float("prefill"), DecodeInterval: c.Duration("decode"),
				CacheTokens: c.Int("cache"), CompletionTokens: c.Int("completion"), IgnoreFencing: c.Bool("ignore-fencing"),
			})
			return listenAndServe(ctx, c.String("listen"), engine.NewServer(e).Handler())
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "serve a plain service",
		Flags: []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return listenAndServe(ctx, c.String("listen"), service.NewServer(c.Duration("delay")).Handler())
		},
	}
}

func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "run agent programs through the VMs and write a report",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm", Usage: "the caller `IP:PORT` of a VM", Required: true},
			&cli.StringFlag{Name: "key", Usage: "the caller's key", Required: true},
			&cli.StringFlag{Name: "model", Value: "counter"},
			&cli.StringFlag{Name: "service", Value: "orders"},
			&cli.IntFlag{Name: "programs", Value: 300},
			&cli.IntFlag{Name: "concurrent", Value: 30},
			&cli.IntFlag{Name: "turns", Value: 6},
			&cli.DurationFlag{Name: "pause", Usage: "maximum pause for a tool", Value: 50 * time.Millisecond},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report := caller.Run(ctx, caller.Options{
				VMs: c.StringSlice("vm"), Key: c.String("key"), Model: c.String("model"), Service: c.String("service"),
				Programs: c.Int("programs"), Concurrent: c.Int("concurrent"), Turns: c.Int("turns"),
				Pause: c.Duration("pause"), Seed: c.Uint64("seed"), Progress: c.Root().ErrWriter,
			})
			if err := report.Write(c.Root().Writer); err != nil {
				return err
			}
			return report.Err()
		},
	}
}
