package main

import (
	"testing"
	"time"
)

// Seeds that broke a promise are added here with the cause.
func TestSeeds(t *testing.T) {
	for _, seed := range []uint64{1} {
		broken, err := soak(seed, 1, 8*time.Second, 3)
		if err != nil {
			t.Fatal(err)
		}
		if broken > 0 {
			t.Errorf("seed %d broke a promise; see the output", seed)
		}
	}
}
