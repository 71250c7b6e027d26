package api

import (
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

// Status is the JSON form of a VM's state.
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
	Leaving      bool      `json:"leaving"`
	Ready        bool      `json:"ready"`
}

// Holding is the JSON form of a holding whose steps the VM takes.
type Holding struct {
	Holding string `json:"holding"`
	Epoch   uint64 `json:"epoch"`
	Backup  string `json:"backup"`
}

// Server answers operators.
type Server struct {
	http *fasthttp.Server
}

// New returns a server; status reports the VM's state and drain begins a
// graceful shutdown.
func New(status func() Status, drain func(), registry metrics.Registry) *Server {
	r := router.New()
	r.GET("/v1/status", func(ctx *fasthttp.RequestCtx) { write(ctx, status()) })
	r.POST("/v1/drain", func(ctx *fasthttp.RequestCtx) {
		go drain()
		write(ctx, status())
	})
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(registry, ctx)
	})
	r.GET("/debug/pprof/{profile:*}", pprofhandler.PprofHandler)
	return &Server{http: &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true}}
}

// Serve answers on a listener until Close.
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

func write(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
	}
}

// StatusOf fills the parts of a status that an instance and a configuration
// tell.
func StatusOf(self hawthornrail.Instance, config hawthornrail.Configuration) Status {
	return Status{
		VM: self.VM(), DataCentre: self.DataCentre(), Incarnation: self.Incarnation(),
		ConfigRevision: config.Snapshot().Revision(), ConfigAgeMS: config.Age().Milliseconds(),
	}
}
