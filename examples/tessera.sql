-- Tables of the database tessera.
CREATE TABLE tessera_orders (
  tessera_order text NOT NULL,
  commission text NOT NULL,
  colour text NOT NULL,
  pieces integer NOT NULL
);
CREATE INDEX tessera_orders_order ON tessera_orders (tessera_order);
CREATE TABLE tessera_stock (
  colour text PRIMARY KEY,
  pieces integer NOT NULL
);
INSERT INTO tessera_stock (colour, pieces)
  VALUES ('ochre', 100000), ('slate', 100000), ('terracotta', 100000);
