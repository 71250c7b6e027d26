package relay

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	statusTimeout  = time.Second
	statusParallel = 32
)

// Fleet requests from every VM the revision that it has in force; a VM that
// does not reply is listed without one.
func (r *Relay) Fleet(ctx context.Context) []api.VMConfig {
	self := r.members.Self()
	members := r.members.Members()
	list := make([]api.VMConfig, len(members)+1)
	list[len(members)] = api.VMConfig{
		VM: self.VM(), DataCentre: self.DataCentre(), Responded: true,
		Revision: r.controller.Snapshot().Revision(), AgeMS: r.controller.Age().Milliseconds(),
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, statusParallel)
	for i, m := range members {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			list[i] = r.requestStatus(ctx, m)
			<-slots
		}()
	}
	wait.Wait()
	return list
}

func (r *Relay) requestStatus(ctx context.Context, m hawthornrail.Member) api.VMConfig {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status := api.VMConfig{VM: m.VM(), DataCentre: m.DataCentre()}
	var reply vmpb.ConfigStatusReply
	open := &vmpb.Open{Kind: &vmpb.Open_ConfigStatus{ConfigStatus: &vmpb.ConfigStatus{}}}
	if _, err := r.client.Invoke(ctx, m.Address(), open, &reply); err != nil {
		return status
	}
	status.Responded, status.Revision, status.AgeMS = true, reply.GetRevision(), reply.GetAgeMs()
	return status
}
