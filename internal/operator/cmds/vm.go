package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/operator/api"
)

const operatorTimeout = 5 * time.Second

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Usage: "the operator `IP:PORT` of a VM", Required: true}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the state of a VM",
		Description: "Example: hawthornrail status --address 10.0.0.2:9100 --output json",
		Flags:       []cli.Flag{addressFlag(), outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return requestStatus(c, http.MethodGet, "/v1/status")
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "shut a VM down gracefully",
		Description: "Example: hawthornrail drain --address 10.0.0.2:9100",
		Flags:       []cli.Flag{addressFlag(), outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return requestStatus(c, http.MethodPost, "/v1/drain")
		},
	}
}

// sendRequest sends a request to the operator address of a VM and returns the
// status and the body of the response.
func sendRequest(c *cli.Command, method, path string) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.String("address") + path)
	if err := fasthttp.DoTimeout(request, response, operatorTimeout); err != nil {
		return 0, nil, exitError{ExitUnavailable, fmt.Errorf("VM at %s: %w", c.String("address"), err)}
	}
	return response.StatusCode(), append([]byte{}, response.Body()...), nil
}

// requestStatus prints the status in the response of a VM.
func requestStatus(c *cli.Command, method, path string) error {
	_, body, err := sendRequest(c, method, path)
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		_, err := c.Root().Writer.Write(body)
		return err
	}
	var s api.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("VM at %s: %w", c.String("address"), err)
	}
	_, err = fmt.Fprintf(c.Root().Writer,
		"vm %s in %s\nconfiguration revision %d, %d ms old\nprograms %d, live %d, replicas %d\nleaving %t\n",
		s.VM, s.DataCentre, s.ConfigRevision, s.ConfigAgeMS, s.Programs, s.LivePrograms, s.Replicas, s.Draining)
	return err
}
