package slopes

import "math"

// Point is the cost Y that was measured at the value X of the driver.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a cost measured at several points, and the least-squares line through them.
type Slope struct {
	// Driver names the quantity X, and Cost the quantity Y with its unit.
	Driver string  `json:"driver"`
	Cost   string  `json:"cost"`
	Points []Point `json:"points"`
	// PerUnit is the line's slope and Intercept its value at zero.
	PerUnit   float64 `json:"per_unit"`
	Intercept float64 `json:"fixed"`
	// Residual is the root mean square of the points' distances from the line,
	// divided by the mean of Y.
	Residual float64 `json:"residual"`
}

// fitLine fits a least-squares line to the points.
func fitLine(driver, cost string, points []Point) Slope {
	s := Slope{Driver: driver, Cost: cost, Points: points}
	n := float64(len(points))
	var x, y, xx, xy float64
	for _, p := range points {
		x, y = x+p.X/n, y+p.Y/n
	}
	for _, p := range points {
		xx += (p.X - x) * (p.X - x)
		xy += (p.X - x) * (p.Y - y)
	}
	s.PerUnit = xy / xx
	s.Intercept = y - s.PerUnit*x
	var squares float64
	for _, p := range points {
		d := p.Y - s.Intercept - s.PerUnit*p.X
		squares += d * d
	}
	if y != 0 {
		s.Residual = math.Sqrt(squares/n) / math.Abs(y)
	}
	return s
}
