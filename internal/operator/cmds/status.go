package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

const (
	fleetTimeout       = 30 * time.Second
	statusPollInterval = 500 * time.Millisecond
	defaultWaitTimeout = time.Minute
)

func deploymentStatusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show which VMs have a deployment's newest version in force", ArgsUsage: "NAME",
		Description: "Example: hawthornrail deployment status counter --wait --address 10.0.0.2:9100 --platform 10.0.0.1:9000",
		Flags: []cli.Flag{
			platformFlag(), addressFlag(), outputFlag(),
			&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force on every VM"},
			&cli.DurationFlag{Name: "timeout", Usage: "wait at most `DURATION`", Value: defaultWaitTimeout},
		},
		Action: deploymentStatus,
	}
}

// fleetReport is the JSON form of a deployment's state in the fleet.
type fleetReport struct {
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	InForce bool           `json:"in_force"`
	Behind  int            `json:"behind"`
	VMs     []api.VMConfig `json:"vms"`
}

func deploymentStatus(ctx context.Context, c *cli.Command) error {
	live, err := newEditor(c).Load(ctx)
	if err != nil {
		return platformError(err)
	}
	name := c.Args().First()
	o := live.Object(objects.KindDeployment, name)
	if o.Version == 0 {
		return exitError{ExitFailed, fmt.Errorf("no deployment %q", name)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	report, err := readFleet(c, live.Snapshot().VMs(), o)
	for err == nil && c.Bool("wait") && !report.InForce && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(statusPollInterval):
		}
		report, err = readFleet(c, live.Snapshot().VMs(), o)
	}
	if err != nil {
		return err
	}
	if err := output(c, report, report.text); err != nil {
		return err
	}
	if !report.InForce {
		return exitError{ExitNotInForce, errors.New("not in force on every VM")}
	}
	return nil
}

func readFleet(c *cli.Command, configured []hawthornrail.VM, o objects.Object) (fleetReport, error) {
	report := fleetReport{Name: o.Name, Version: o.Version}
	address := c.String("address")
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/v1/fleet", fleetTimeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, &report.VMs)
	}
	if err != nil {
		return report, exitError{ExitUnavailable, fmt.Errorf("VM at %s: %w", address, err)}
	}
	for _, v := range configured {
		if !slices.ContainsFunc(report.VMs, func(reported api.VMConfig) bool { return reported.VM == v.Name() }) {
			report.VMs = append(report.VMs, api.VMConfig{VM: v.Name(), DataCentre: v.DataCentre()})
		}
	}
	for _, v := range report.VMs {
		if v.Revision < o.Version {
			report.Behind++
		}
	}
	report.InForce = report.Behind == 0
	return report, nil
}

// text formats the total, then the VMs that do not respond or have an older
// revision.
func (r fleetReport) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "deployment/%s version %d is in force on %d of %d VMs\n", r.Name, r.Version, len(r.VMs)-r.Behind, len(r.VMs))
	for _, v := range r.VMs {
		switch {
		case !v.Responded:
			fmt.Fprintf(&b, "%s/%s does not answer\n", v.DataCentre, v.VM)
		case v.Revision < r.Version:
			age := time.Duration(v.AgeMS) * time.Millisecond
			fmt.Fprintf(&b, "%s/%s has revision %d, behind for at most %s\n", v.DataCentre, v.VM, v.Revision, age)
		}
	}
	return b.String()
}
