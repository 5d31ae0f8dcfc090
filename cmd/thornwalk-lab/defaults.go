package main

import "time"

// Behaviour of the stand-ins.
const (
	plainCallTime = 20 * time.Millisecond
	machineLag    = time.Second
	reportLag     = 100 * time.Millisecond
)
