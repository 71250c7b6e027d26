package node

import (
	"testing"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func TestTaskName(t *testing.T) {
	reserve := &vmpb.Open{Kind: &vmpb.Open_AccountReserve{AccountReserve: &vmpb.AccountReserve{}}}
	for _, c := range []struct {
		want string
		open *vmpb.Open
	}{
		{"account_reserve", reserve},
		{"account_reserve_passed_on", &vmpb.Open{Kind: &vmpb.Open_Relayed{Relayed: &vmpb.Relayed{Question: reserve}}}},
		{"unknown", &vmpb.Open{}},
	} {
		t.Run(c.want, func(t *testing.T) {
			if got := taskName(c.open); got != c.want {
				t.Errorf("task %q, want %q", got, c.want)
			}
		})
	}
}
