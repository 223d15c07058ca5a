package emulate

import "testing"

// TestPortsStayWithTheirProcess draws ports for two that draw at once, as two test programs do: none has a port of the
// other's, though neither uses it just then.
func TestPortsStayWithTheirProcess(t *testing.T) {
	var a, b ports
	defer a.close()
	defer b.close()
	taken := map[string]bool{}
	for range 30 {
		for _, address := range a.take(100) {
			if taken[address] {
				t.Fatalf("%s is handed out twice", address)
			}
			taken[address] = true
		}
		for _, address := range b.take(100) {
			if taken[address] {
				t.Fatalf("%s is handed out twice", address)
			}
			taken[address] = true
		}
	}
}

func (p *ports) close() {
	for _, l := range p.marks {
		_ = l.Close()
	}
}
