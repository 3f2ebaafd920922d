-- Tables of the database stock.
CREATE TABLE wheel_models (
  wheel text PRIMARY KEY,
  diameter_mm integer NOT NULL
);
CREATE TABLE stock (
  shop text NOT NULL,
  wheel text NOT NULL,
  quantity integer NOT NULL,
  PRIMARY KEY (shop, wheel)
);
INSERT INTO wheel_models (wheel, diameter_mm)
  SELECT 'wheel-' || number, 180 + 10 * number FROM generate_series(1, 10) AS number;
INSERT INTO stock (shop, wheel, quantity)
  SELECT 'shop-' || shop, 'wheel-' || wheel, 100
  FROM generate_series(1, 10) AS shop, generate_series(1, 10) AS wheel;
