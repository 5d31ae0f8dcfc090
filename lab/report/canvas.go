package report

import (
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

func newDrawCanvas(canvas *vgsvg.Canvas) draw.Canvas { return draw.New(canvas) }
