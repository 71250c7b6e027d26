package peer_test

import (
	"bufio"
	"bytes"
	"testing"

	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func FuzzReadMessage(f *testing.F) {
	var valid bytes.Buffer
	step := &vmpb.Step{TreeId: "dc1.vm1.1.1.00", Sequence: 3, Change: &vmpb.Step_Intent{Intent: &vmpb.Intent{Number: 1}}}
	if err := peer.WriteMessage(&valid, &vmpb.Open{Kind: &vmpb.Open_Step{Step: step}}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var open vmpb.Open
		if err := peer.ReadMessage(bufio.NewReader(bytes.NewReader(data)), &open); err != nil {
			return
		}
		if s, err := convert.StepFromWire(open.GetStep()); err == nil && s.Change() == nil {
			t.Error("a step without a change was taken")
		}
	})
}
