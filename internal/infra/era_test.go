package infra

import "testing"

func TestNumbersOfALaterEraAreGreater(t *testing.T) {
	last := InEra(3, 1<<eraShift-1)
	if first := InEra(4, 0); first <= last {
		t.Errorf("the first number of era 4, %d, is not above the last one of era 3, %d", first, last)
	}
	if EraOf(last) != 3 || NumberOf(last) != 1<<eraShift-1 {
		t.Errorf("%d is read as number %d of era %d", last, NumberOf(last), EraOf(last))
	}
	if InEra(0, 42) != 42 {
		t.Error("numbers of a service without eras change")
	}
}
