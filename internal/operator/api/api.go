package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/fasthttp/router"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// Status is the JSON form of the state of a VM.
type Status struct {
	VM             string `json:"vm"`
	DataCentre     string `json:"data_centre"`
	Incarnation    uint64 `json:"incarnation"`
	ConfigRevision uint64 `json:"config_revision"`
	ConfigAgeMS    int64  `json:"config_age_ms"`
	Programs       int    `json:"programs"`
	LivePrograms   int    `json:"live_programs"`
	Replicas       int    `json:"replicas"`
	// SoloReplicas is the number of holdings that may be taken over here
	// without the platform.
	SoloReplicas int       `json:"solo_replicas"`
	Holdings     []Holding `json:"holdings"`
	Draining     bool      `json:"leaving"`
	Ready        bool      `json:"ready"`

	// Requests counts requests of callers in flight, Forwarded the calls of other
	// VMs in flight, and Recording the calls whose outcome is not replicated yet.
	Requests  int `json:"requests"`
	Forwarded int `json:"forwarded"`
	Recording int `json:"recording"`

	UnconfirmedReleases int `json:"unconfirmed_releases"`
}

// Holding is the JSON form of a holding whose steps this VM processes.
type Holding struct {
	Holding string `json:"holding"`
	Epoch   uint64 `json:"epoch"`
	Backup  string `json:"backup"`
}

// VMConfig is the JSON form of the configuration that a VM has in force.
type VMConfig struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Responded  bool   `json:"answered"`
	Revision   uint64 `json:"revision"`
	AgeMS      int64  `json:"age_ms"`
}

// Server serves the HTTP API for operators.
type Server struct {
	http   *fasthttp.Server
	routes *router.Router
}

// New returns a server. status reports the state of the VM, drain starts a
// graceful shutdown and fleet requests the configuration of every VM.
func New(status func() Status, drain func(), fleet func(context.Context) []VMConfig, registry metrics.Registry) *Server {
	r := router.New()
	r.GET("/v1/status", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, status()) })
	r.POST("/v1/drain", func(ctx *fasthttp.RequestCtx) {
		go drain()
		writeJSON(ctx, status())
	})
	r.GET("/v1/fleet", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fleet(context.Background())) })
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(registry, ctx)
	})
	r.GET("/debug/pprof/{profile:*}", pprofhandler.PprofHandler)
	return &Server{routes: r, http: &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true}}
}

// Serve serves requests on a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Close stops the server.
func (s *Server) Close() error {
	if err := s.http.Shutdown(); err != nil {
		return fmt.Errorf("stop operator server: %w", err)
	}
	return nil
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
	}
}

// NewStatus returns a status with the fields that an instance and a configuration
// provide.
func NewStatus(self hawthornrail.Instance, config hawthornrail.Configuration) Status {
	return Status{
		VM: self.VM(), DataCentre: self.DataCentre(), Incarnation: self.Incarnation(),
		ConfigRevision: config.Snapshot().Revision(), ConfigAgeMS: config.Age().Milliseconds(),
	}
}
